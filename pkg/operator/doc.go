// Package operator is the library with which operators describe their work.
//
// A program fills in plain structs (Job, Cell), calls Check to find mistakes
// before anything leaves the machine, and calls Print to write the commented
// JSON that `jasminestep apply` and `jasminestep submit` take. Zero values are
// useful throughout: a Job with a name, a member and a command is a batch job
// of one task.
package operator
