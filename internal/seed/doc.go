// Package seed fixes the seed of random tests, so that each run takes the same cases.
package seed
