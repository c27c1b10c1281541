// Package native tests hosts end to end: it runs them as processes against a
// fake of the users' platform.
package native
