package courier

import (
	"compress/flate"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/lovagedyke/lovagedyke/internal/courier/courierpb"
	"github.com/lovagedyke/lovagedyke/internal/deflate"
	"github.com/lovagedyke/lovagedyke/internal/job"
)

// minDeflatedBytes is the total size of specs from which compression is worth its time.
const minDeflatedBytes = 512

// specCodec compresses by Huffman coding alone: that is fast, and specs rarely repeat.
var specCodec = deflate.New(deflate.Config{Level: flate.HuffmanOnly})

// deflateSpecs compresses a request's specs if they are long: they are most of what a
// leader sends.
func deflateSpecs(request *courierpb.DeliverRequest) {
	all := strings.Join(request.Specs, "")
	if len(all) < minDeflatedBytes {
		return
	}
	for _, spec := range request.Specs {
		request.Lengths = append(request.Lengths, int64(len(spec)))
	}
	request.Specs, request.DeflatedSpecs = nil, specCodec.Append(nil, []byte(all))
}

// inflateSpecs returns a request's specs.
func inflateSpecs(request *courierpb.DeliverRequest) ([]string, error) {
	if len(request.Lengths) == 0 {
		return request.Specs, nil
	}
	total := int64(0)
	for _, length := range request.Lengths {
		if length < 0 || length > job.MaxSpec {
			return nil, errors.Newf("spec of %d bytes", length)
		}
		total += length
	}
	data, err := specCodec.Inflate(request.DeflatedSpecs, int(total))
	if err != nil {
		return nil, errors.Wrap(err, "specs")
	}
	if int64(len(data)) != total {
		return nil, errors.Newf("specs have %d bytes, want %d", len(data), total)
	}
	var specs []string
	for _, length := range request.Lengths {
		specs = append(specs, string(data[:length]))
		data = data[length:]
	}
	return specs, nil
}
