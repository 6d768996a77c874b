// Package record holds the records that the system appends to the log, generated from record.proto. Package ledger
// builds and reads them.
package record
