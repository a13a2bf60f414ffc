// Package operator defines the documents that operators submit: jobs and the
// configuration of a cell.
//
// A program fills in plain structs (Job, Cell), calls Check to validate them
// locally, and calls Print to write the commented JSON that `jasminestep apply`
// and `jasminestep submit` take. Zero values are useful throughout: a Job with a
// name, a member and a command is a batch job of one task.
package operator
