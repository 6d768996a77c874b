// Package record defines the records that the system appends to the log, generated from record.proto. Package ledger
// encodes and decodes them.
package record
