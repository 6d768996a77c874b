// Package hostileframes makes frames that are well formed and hold any values, as a faulty peer or one of another version
// may send them.
package hostileframes

import (
	"math"
	"math/rand/v2"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
)

const (
	// maxListItems bounds the items of a repeated field.
	maxListItems = 3
	// unsetShare is the part of the fields that are left out.
	unsetShare = 0.2
)

// integers are the values of numeric fields.
var integers = []int64{0, 1, 2, 7, 1000, -1, -1000, math.MaxInt32, math.MinInt32, math.MaxInt64, math.MinInt64, math.MaxUint32}

// texts are the values of text fields and, as bytes, of binary ones.
var texts = []string{"", "a", "job", "s", "service", "\x00", "\xc3\xa9", "999999999999999999999", `{"a":`, "50ms", "hang"}

// New returns a frame with random contents.
func New(random *rand.Rand) *wire.Frame {
	f := &wire.Frame{}
	bodies := f.ProtoReflect().Descriptor().Oneofs().Get(0).Fields()
	body := bodies.Get(random.IntN(bodies.Len()))

	fill(f.ProtoReflect().Mutable(body).Message(), random)

	// What a peer receives has passed through the encoding.
	data, err := proto.Marshal(f)
	if err != nil {
		return f
	}

	received := &wire.Frame{}
	if proto.Unmarshal(data, received) != nil {
		return f
	}

	return received
}

func fill(m protoreflect.Message, random *rand.Rand) {
	fields := m.Descriptor().Fields()

	for n := range fields.Len() {
		f := fields.Get(n)
		if random.Float64() < unsetShare {
			continue
		}

		switch {
		case f.IsMap():
		case f.IsList():
			l := m.Mutable(f).List()

			for range random.IntN(maxListItems + 1) {
				if f.Message() != nil {
					fill(l.AppendMutable().Message(), random)
				} else {
					l.Append(scalar(f, random))
				}
			}
		case f.Message() != nil:
			fill(m.Mutable(f).Message(), random)
		default:
			m.Set(f, scalar(f, random))
		}
	}
}

func scalar(f protoreflect.FieldDescriptor, random *rand.Rand) protoreflect.Value {
	number := integers[random.IntN(len(integers))]
	text := texts[random.IntN(len(texts))]

	switch f.Kind() {
	case protoreflect.BoolKind:
		return protoreflect.ValueOfBool(random.IntN(2) == 0)
	case protoreflect.EnumKind:
		return protoreflect.ValueOfEnum(protoreflect.EnumNumber(random.IntN(10)))
	case protoreflect.Int32Kind, protoreflect.Sint32Kind, protoreflect.Sfixed32Kind:
		return protoreflect.ValueOfInt32(int32(number))
	case protoreflect.Int64Kind, protoreflect.Sint64Kind, protoreflect.Sfixed64Kind:
		return protoreflect.ValueOfInt64(number)
	case protoreflect.Uint32Kind, protoreflect.Fixed32Kind:
		return protoreflect.ValueOfUint32(uint32(number))
	case protoreflect.Uint64Kind, protoreflect.Fixed64Kind:
		return protoreflect.ValueOfUint64(uint64(number))
	case protoreflect.FloatKind:
		return protoreflect.ValueOfFloat32(float32(number))
	case protoreflect.DoubleKind:
		return protoreflect.ValueOfFloat64(float64(number))
	case protoreflect.BytesKind:
		return protoreflect.ValueOfBytes([]byte(text))
	default:
		return protoreflect.ValueOfString(text)
	}
}
