// Package conf reads and checks the settings file of an instance.
package conf
