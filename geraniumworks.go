// Package geraniumworks holds the values and interfaces shared by all parts of the router.
//
// Values are immutable: a change is made by a With method, which returns a copy. Implementations of the
// interfaces are found below internal.
package geraniumworks
