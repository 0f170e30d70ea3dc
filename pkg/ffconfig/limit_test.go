package ffconfig_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

// requireTooLarge fails the test unless err is of kind KindTooLarge.
func requireTooLarge(t *testing.T, err error) {
	t.Helper()
	var e *ffconfig.Error
	if !errors.As(err, &e) || e.Kind != ffconfig.KindTooLarge {
		t.Fatalf("got %v", err)
	}
}

// Checks that pieces and manifests too large for the platform are rejected by
// EncodePiece and DecodeManifest.
func TestRejectsOversizedContent(t *testing.T) {
	_, _, err := ffconfig.EncodePiece(ffconfig.PieceContract, "a", strings.Repeat("a", ffconfig.MaxPieceBytes-1))
	requireTooLarge(t, err)
	_, content, err := ffconfig.EncodePiece(ffconfig.PieceContract, "a", strings.Repeat("a", ffconfig.MaxPieceBytes-2))
	if err != nil || len(content) != ffconfig.MaxPieceBytes {
		t.Fatalf("a piece at the limit: %d bytes, %v", len(content), err)
	}
	_, _, err = ffconfig.DecodeManifest(fmt.Appendf(nil, `{"number":1,"pieces":[{"kind":"route","name":"a","digest":%q,"size":%d}]}`, ffconfig.DigestOf(nil), ffconfig.MaxPieceBytes+1))
	requireTooLarge(t, err)
	_, _, err = ffconfig.DecodeManifest([]byte(`{"number":1}` + strings.Repeat(" ", ffconfig.MaxManifestBytes)))
	requireTooLarge(t, err)
}
