package geraniumworks_test

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	gw "github.com/geraniumworks/geraniumworks"
)

// wrongByte is the assignment in testdata/records, which the version before the fix has written: the handover of its
// range number 3 has a byte that is no UTF-8. handover replaces that one.
func wrongByte(t *testing.T, handover string) gw.Assignment {
	t.Helper()
	a := gw.NewAssignment(gw.KeySpace{Service: "lookups", Region: gw.AllRegions}).
		WithCell(gw.Cell{DataCentre: "holland-a", Epoch: 2, Controller: "h1#1", Host: "h1"}).WithRevision(9, "w9")
	for i := range 12 {
		first := gw.Position(i) << 56
		next, err := a.WithSplit(first).WithOwner(first, gw.ServerName(fmt.Sprintf("i-%d", i%4)), gw.Revision(i+1))
		require.NoError(t, err)
		a = next.WithHandover(first, fmt.Sprintf("%016x", i*7919777777))
	}
	return a.WithHandover(3<<56, handover)
}

// Guards against a key space that no host can read any more, after a server has handed over a byte that is no UTF-8:
// the service was down for good.
func TestWrongByteInHandoverLeavesTheRecordReadable(t *testing.T) {
	for _, handover := range []string{"5c0e7a21d9\xb36f8", "\xff", "é", strings.Repeat("\x80", 3000)} {
		a := wrongByte(t, handover)
		data, err := gw.EncodeAssignment(a)
		if err != nil {
			require.ErrorIs(t, err, gw.ErrBadText)
			continue
		}
		read, err := gw.DecodeAssignment(data)
		require.NoError(t, err, "%q was written and cannot be read", handover)
		require.Equal(t, a, read)
	}
}

// Guards against a deployment that keeps suffering from a wrong byte that an earlier version has written: the record
// costs one handover, and what is written next can be read by hosts of the earlier version too.
func TestRecordWithWrongByteOfEarlierVersionIsRepaired(t *testing.T) {
	data, err := os.ReadFile("testdata/records/wrong-byte.record")
	require.NoError(t, err)
	read, repaired, err := gw.RepairAssignment(data)
	require.NoError(t, err)
	require.Equal(t, 1, repaired)
	require.Equal(t, wrongByte(t, ""), read)
	_, repaired, err = gw.RepairAssignment(encode(t, read))
	require.NoError(t, err)
	require.Zero(t, repaired)
	requireStrictCBOR(t, encode(t, read))
}

// Guards against a host that never learns the newer owners when another host of an earlier version sends a change with
// a wrong byte.
func TestChangeWithWrongByteOfEarlierVersionIsApplied(t *testing.T) {
	data, err := os.ReadFile("testdata/records/wrong-byte.change")
	require.NoError(t, err)
	got, err := wrongByte(t, fmt.Sprintf("%016x", 3*7919777777)).WithChange(data)
	require.NoError(t, err)
	require.Equal(t, wrongByte(t, "").WithRevision(10, "w10"), got)
}

func encode(t *testing.T, a gw.Assignment) []byte {
	t.Helper()
	data, err := gw.EncodeAssignment(a)
	require.NoError(t, err)
	return data
}

// requireStrictCBOR decodes a packed record as earlier versions do, which refuse text that is no UTF-8.
func requireStrictCBOR(t *testing.T, data []byte) {
	t.Helper()
	var unpacked bytes.Buffer
	_, err := unpacked.ReadFrom(flate.NewReader(bytes.NewReader(data[1:])))
	require.NoError(t, err)
	var columns []any
	require.NoError(t, cbor.Unmarshal(unpacked.Bytes(), &columns))
}

// Guards against an assignment or a change that is written and cannot be read, or is read as another one, whatever
// the names and handovers in it are.
func FuzzAssignmentRoundTrip(f *testing.F) {
	f.Add("lookups", "holland", "w1", "holland-a", "h1#1", "h1", "i-7f3a91c2", "5c0e7a21d94b36f8", uint16(0))
	f.Add("lookups", "all-regions", "w1", "holland-a", "h1#1", "h1", "i-7f3a91c2", "5c0e7a21d9\xb36f8", uint16(20))
	longest := strings.Repeat("x", gw.MaxHandoverBytes)
	f.Add("\xff", "", "\x00", "<>&", "\u2028", "a\nb", "\xed\xa0\x80", longest+"x", uint16(9))
	f.Add("s", "r", "", "", "", "", "", longest, uint16(600))
	f.Fuzz(func(t *testing.T, service, region, writeID, dc, controller, host, owner, handover string, splits uint16) {
		space := gw.KeySpace{Service: gw.ServiceName(service), Region: gw.RegionName(region)}
		from := gw.NewAssignment(space)
		to := from.WithRevision(7, writeID).WithCell(gw.Cell{
			DataCentre: gw.DataCentreName(dc), Epoch: 1, Controller: gw.InstanceID(controller), Host: gw.HostName(host),
		})
		for i := range uint64(splits % 700) {
			to.Ranges = append(to.Ranges, gw.OwnedRange{First: gw.Position((i + 1) << 48)})
		}
		last := len(to.Ranges) - 1
		to.Ranges[last].Owner, to.Ranges[last].Handover = gw.ServerName(owner), handover
		data, err := gw.EncodeAssignment(to)
		if err != nil {
			require.True(t, errors.Is(err, gw.ErrBadText) || errors.Is(err, gw.ErrValueTooLarge), "%v", err)
			_, err = gw.EncodeChange(from, to)
			require.Error(t, err, "a change is sent to a revision that cannot be sent whole")
			return
		}
		read, err := gw.DecodeAssignment(data)
		require.NoError(t, err)
		require.Equal(t, to, read)
		change, err := gw.EncodeChange(from, to)
		require.NoError(t, err)
		changed, err := from.WithChange(change)
		require.NoError(t, err)
		require.Equal(t, to, changed)
	})
}
