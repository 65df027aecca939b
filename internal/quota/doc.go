// Package quota holds the rules for rates and spending.
package quota
