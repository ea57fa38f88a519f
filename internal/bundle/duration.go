package bundle

import (
	"encoding/json"
	"time"
)

// Std returns the duration as the standard library's type.
func (d Duration) Std() time.Duration {
	return time.Duration(d)
}

// MarshalJSON writes the duration as a string such as "250ms".
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(d.Std().String())
}

// UnmarshalJSON reads a string such as "250ms".
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return Error.New("expected a duration such as \"250ms\", found %s", data)
	}
	return d.parse(text)
}

// MarshalYAML writes the duration as a string such as "250ms".
func (d Duration) MarshalYAML() ([]byte, error) {
	return []byte(d.Std().String()), nil
}

// UnmarshalYAML reads a string such as "250ms".
func (d *Duration) UnmarshalYAML(unmarshal func(any) error) error {
	var text string
	if err := unmarshal(&text); err != nil {
		return err
	}
	return d.parse(text)
}

func (d *Duration) parse(text string) error {
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return Error.New("expected a duration such as \"250ms\", found %q", text)
	}
	if parsed < 0 {
		return Error.New("duration %q is negative", text)
	}
	*d = Duration(parsed)
	return nil
}
