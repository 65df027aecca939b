// Package quota limits request rates, token rates and spending per customer.
package quota
