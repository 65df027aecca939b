// Package contr defines the contract of a customer, which sets all of the customer's limits, and sets of contracts.
package contr
