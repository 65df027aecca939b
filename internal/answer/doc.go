// Package answer tells from an endpoint's answer whether it is complete.
package answer
