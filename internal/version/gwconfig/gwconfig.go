// Package gwconfig reads, checks and formats configuration files.
package gwconfig
