// Package contr holds the contract of a customer: the aggregate from which every limit follows.
package contr
