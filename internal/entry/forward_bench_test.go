package entry

import (
	"fmt"
	"io"
	"net/http"
	"runtime"
	"sync"
	"testing"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// serviceTime is the time the endpoint takes for a request.
	serviceTime = 5 * time.Millisecond
	// halfLoad is half of the endpoint's slots.
	halfLoad = 4
)

// BenchmarkForward compares the latency of requests through an entry with that
// of requests directly to the endpoint, at half of the endpoint's slots.
func BenchmarkForward(b *testing.B) {
	f := newFixture(b, func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(serviceTime)
		_, _ = io.WriteString(w, "stocked")
	})
	directURL := "http://" + f.hosts[0].Endpoints[0].Address.String() + "/restock"
	targets := map[string]string{"straight": directURL, "through": f.server.URL + "/orders/restock"}
	var mu sync.Mutex
	took := map[string]*hdr.Histogram{}
	for name := range targets {
		took[name] = hdr.New(1, int64(time.Minute), 3)
	}
	f.client.Transport = &http.Transport{MaxIdleConnsPerHost: halfLoad}
	var callers sync.WaitGroup
	b.ResetTimer()
	for range halfLoad {
		callers.Go(func() {
			for range max(1, b.N/halfLoad) {
				for name, url := range targets {
					started := time.Now()
					f.get(url)
					elapsed := time.Since(started)
					mu.Lock()
					_ = took[name].RecordValue(int64(elapsed))
					mu.Unlock()
				}
			}
		})
	}
	callers.Wait()
	for name, histogram := range took {
		b.ReportMetric(float64(histogram.ValueAtQuantile(50))/1e6, name+"-median-ms")
		b.ReportMetric(float64(histogram.ValueAtQuantile(99))/1e6, name+"-p99-ms")
	}
	for _, q := range []float64{50, 99} {
		added := took["through"].ValueAtQuantile(q) - took["straight"].ValueAtQuantile(q)
		b.ReportMetric(float64(added)/1e6, fmt.Sprintf("added-p%.0f-ms", q))
	}
}

// get sends one request with the team's key.
func (f *fixture) get(url string) {
	request, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		f.t.Error(err)
		return
	}
	request.Header.Set("Authorization", "Bearer "+f.keys["tackle"])
	response, err := f.client.Do(request)
	if err != nil {
		f.t.Error(err)
		return
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil || response.StatusCode != http.StatusOK {
		f.t.Errorf("got status %d and %v, want 200", response.StatusCode, err)
	}
}

// zeroReader is an endless body of zeros.
type zeroReader struct{}

// Read implements io.Reader.
func (zeroReader) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// BenchmarkBody sends a body through an entry and reports how much the heap
// grows at its peak. The heap includes the caller, the entry and the endpoint.
func BenchmarkBody(b *testing.B) {
	for _, direction := range []string{"request", "answer"} {
		for _, megabytes := range []int64{25, 50, 100, 200} {
			b.Run(fmt.Sprintf("%s/MB=%03d", direction, megabytes), func(b *testing.B) {
				benchmarkBody(b, direction == "answer", megabytes<<20)
			})
		}
	}
}

func benchmarkBody(b *testing.B, inResponse bool, size int64) {
	f := newFixture(b, func(w http.ResponseWriter, r *http.Request) {
		if inResponse {
			w.Header().Set("Content-Length", fmt.Sprint(size))
			_, _ = io.CopyN(w, zeroReader{}, size)
			return
		}
		if n, err := io.Copy(io.Discard, r.Body); err != nil || n != size {
			b.Errorf("got %d bytes and %v, want %d", n, err, size)
		}
	})
	sent := size
	if inResponse {
		sent = 0
	}
	var before runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	peak := uint64(0)
	b.SetBytes(size)
	for b.Loop() {
		stop := make(chan struct{})
		peaks := make(chan uint64)
		go func() { peaks <- peakHeap(stop) }()
		request, err := http.NewRequest(http.MethodPost, f.server.URL+"/orders/plan", io.LimitReader(zeroReader{}, sent))
		if err != nil {
			b.Fatal(err)
		}
		request.ContentLength = sent
		request.Header.Set("Authorization", "Bearer "+f.keys["tackle"])
		response, err := f.client.Do(request)
		if err != nil {
			b.Fatal(err)
		}
		n, err := io.Copy(io.Discard, response.Body)
		if err != nil || response.StatusCode != http.StatusOK || inResponse && n != size {
			b.Errorf("got status %d, %d bytes and %v, want 200", response.StatusCode, n, err)
		}
		_ = response.Body.Close()
		close(stop)
		peak = max(peak, <-peaks)
	}
	b.ReportMetric((float64(peak)-float64(before.HeapInuse))/1e6, "heap-growth-MB")
}

// peakHeap samples the heap size until stop is closed and returns the maximum.
func peakHeap(stop <-chan struct{}) uint64 {
	var stats runtime.MemStats
	peak := uint64(0)
	for {
		runtime.ReadMemStats(&stats)
		peak = max(peak, stats.HeapInuse)
		select {
		case <-stop:
			return peak
		case <-time.After(5 * time.Millisecond):
		}
	}
}
