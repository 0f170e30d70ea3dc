package ffhead

import (
	"net/http"
	"strings"

	"github.com/ansel1/merry/v2"
)

// CheckFields returns an error if a field of h has a name or a value with a character that
// is not allowed there. For the names see RFC 9110, 5.1.
func CheckFields(h http.Header) error {
	for name, values := range h {
		if name == "" || strings.ContainsFunc(name, invalidInName) {
			return &Error{Op: "check a field", Kind: KindName, Err: merry.Errorf("%q", name)}
		}
		for _, value := range values {
			if strings.ContainsFunc(value, invalidInValue) {
				return &Error{Op: "check a field", Kind: KindValue, Err: merry.Errorf("control character in the value of %s", name)}
			}
		}
	}
	return nil
}

// invalidInName reports whether c is not allowed in the name of a field.
func invalidInName(c rune) bool {
	return c <= ' ' || c >= 0x7f || strings.ContainsRune(`"(),/:;<=>?@[\]{}`, c)
}

// invalidInValue reports whether c is not allowed in the value of a field.
func invalidInValue(c rune) bool { return c < ' ' && c != '\t' || c == 0x7f }
