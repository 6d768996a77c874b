package fault

import (
	"fmt"
	"time"

	"github.com/ansel1/merry/v2"
)

type valueKey int

const (
	kindKey valueKey = iota
	ranKey
	fieldKey
	retryAfterKey
)

// New returns an error of the kind. Stack traces are left out, since refusals are frequent during floods.
func New(k Kind, format string, args ...any) error {
	return merry.New(fmt.Sprintf(format, args...), merry.NoCaptureStack(),
		merry.WithValue(kindKey, k), merry.WithHTTPCode(k.Status()))
}

// Wrap gives err the kind and puts the text in front of its message.
func Wrap(k Kind, err error, format string, args ...any) error {
	return merry.Wrap(err, merry.NoCaptureStack(), merry.PrependMessagef(format, args...),
		merry.WithValue(kindKey, k), merry.WithHTTPCode(k.Status()))
}

// WithRan states how much of the submission was started.
func WithRan(err error, ran Ran) error {
	return merry.Wrap(err, merry.NoCaptureStack(), merry.WithValue(ranKey, ran))
}

// WithField names the field of the input that is at fault.
func WithField(err error, field string) error {
	return merry.Wrap(err, merry.NoCaptureStack(), merry.WithValue(fieldKey, field))
}

// WithRetryAfter states when to try again.
func WithRetryAfter(err error, after time.Duration) error {
	return merry.Wrap(err, merry.NoCaptureStack(), merry.WithValue(retryAfterKey, after))
}

// KindOf returns the kind of err, and Internal for an error without one.
func KindOf(err error) Kind {
	if k, ok := merry.Value(err, kindKey).(Kind); ok {
		return k
	}

	return Internal
}

// RanOf returns what err states, or what its kind implies.
func RanOf(err error) Ran {
	if r, ok := merry.Value(err, ranKey).(Ran); ok {
		return r
	}

	return properties[KindOf(err)].ran
}

// FieldOf returns the field at fault, or an empty text.
func FieldOf(err error) string {
	f, _ := merry.Value(err, fieldKey).(string)

	return f
}

// RetryAfterOf returns when to try again; zero means that a retry does not help.
func RetryAfterOf(err error) time.Duration {
	if d, ok := merry.Value(err, retryAfterKey).(time.Duration); ok {
		return d
	}

	return properties[KindOf(err)].retryAfter
}
