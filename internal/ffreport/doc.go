// Package ffreport renders the JSON reports of experiments as one HTML page with
// charts.
package ffreport
