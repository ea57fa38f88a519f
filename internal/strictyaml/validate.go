package strictyaml

import (
	"errors"
	"fmt"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"
)

// inlinePlaceholder is the name of an inlined struct in the validator's paths.
const inlinePlaceholder = "~inline"

// Validator checks structs by their "validate" tags. It uses the names of fields in files. It is
// safe for concurrent use.
type Validator struct {
	validate *validator.Validate
}

// NewValidator returns a Validator.
func NewValidator() *Validator {
	validate := validator.New(validator.WithRequiredStructEnabled())
	validate.RegisterTagNameFunc(func(field reflect.StructField) string {
		name, inline := fileName(field)
		if inline {
			return inlinePlaceholder
		}
		return name
	})
	return &Validator{validate: validate}
}

// Check returns a problem for each field that violates its tag.
func (v *Validator) Check(value any) []Problem {
	var failures validator.ValidationErrors
	if !errors.As(v.validate.Struct(value), &failures) {
		return nil
	}
	problems := make([]Problem, 0, len(failures))
	for _, failure := range failures {
		problems = append(problems, Problem{
			Field:   fieldPath(failure.Namespace()),
			Message: "expected " + describe(failure),
		})
	}
	return problems
}

// fieldPath returns a path without the struct's name and the placeholders of inlined structs.
func fieldPath(namespace string) string {
	_, path, _ := strings.Cut(namespace, ".")
	return strings.ReplaceAll(path, inlinePlaceholder+".", "")
}

// describe describes what a tag expects.
func describe(failure validator.FieldError) string {
	switch failure.Tag() {
	case "required":
		return describeRequired(failure)
	case "min":
		return describeMinimum(failure)
	case "gte":
		return "at least " + failure.Param()
	case "lte":
		return "at most " + failure.Param()
	case "oneof":
		return "one of " + strings.ReplaceAll(failure.Param(), " ", ", ")
	case "unique":
		return "no entry twice"
	case "hostname_port":
		return "an address as IP:PORT"
	case "ip":
		return "an IP number"
	case "url":
		return "a URL"
	case "base64":
		return "base64 text"
	default:
		return fmt.Sprintf("a value that passes %q", failure.Tag())
	}
}

func describeRequired(failure validator.FieldError) string {
	switch failure.Kind() {
	case reflect.Int, reflect.Uint32, reflect.Uint64:
		return "a number above zero"
	default:
		return "a value"
	}
}

func describeMinimum(failure validator.FieldError) string {
	unit := "entries"
	if failure.Kind() == reflect.String {
		unit = "characters"
	}
	return fmt.Sprintf("at least %s %s", failure.Param(), unit)
}
