// Package answer decides whether an endpoint's answer is sound and complete.
package answer
