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

// New returns an error of the kind. It has no stack trace, since refusals are frequent under overload.
func New(k Kind, format string, args ...any) error {
	return merry.New(fmt.Sprintf(format, args...), merry.NoCaptureStack(),
		merry.WithValue(kindKey, k), merry.WithHTTPCode(k.Status()))
}

// Wrap returns err with the kind and with the formatted text in front of its message.
func Wrap(k Kind, err error, format string, args ...any) error {
	return merry.Wrap(err, merry.NoCaptureStack(), merry.PrependMessagef(format, args...),
		merry.WithValue(kindKey, k), merry.WithHTTPCode(k.Status()))
}

// WithRan returns err with a statement of how much of the submission was started.
func WithRan(err error, ran Ran) error {
	return merry.Wrap(err, merry.NoCaptureStack(), merry.WithValue(ranKey, ran))
}

// WithField returns err with the name of the invalid input field.
func WithField(err error, field string) error {
	return merry.Wrap(err, merry.NoCaptureStack(), merry.WithValue(fieldKey, field))
}

// WithRetryAfter returns err with the time after which the caller may retry.
func WithRetryAfter(err error, after time.Duration) error {
	return merry.Wrap(err, merry.NoCaptureStack(), merry.WithValue(retryAfterKey, after))
}

// KindOf returns the kind of err, or Internal if it has none.
func KindOf(err error) Kind {
	if k, ok := merry.Value(err, kindKey).(Kind); ok {
		return k
	}

	return Internal
}

// RanOf returns how much of the submission was started, as err states or else as its kind implies.
func RanOf(err error) Ran {
	if r, ok := merry.Value(err, ranKey).(Ran); ok {
		return r
	}

	return properties[KindOf(err)].ran
}

// FieldOf returns the name of the invalid input field, or an empty string.
func FieldOf(err error) string {
	f, _ := merry.Value(err, fieldKey).(string)

	return f
}

// RetryAfterOf returns the time after which the caller may retry; zero means that a retry does not help.
func RetryAfterOf(err error) time.Duration {
	if d, ok := merry.Value(err, retryAfterKey).(time.Duration); ok {
		return d
	}

	return properties[KindOf(err)].retryAfter
}
