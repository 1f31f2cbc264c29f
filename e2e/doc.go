// Package e2e holds the scripted sessions of whole deployments in separate processes.
package e2e
