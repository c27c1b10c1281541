// Package native tests whole hosts as processes on the stand-in of the users'
// platform.
package native
