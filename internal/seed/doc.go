// Package seed fixes the seed of property-based tests, so that each run generates the same cases.
package seed
