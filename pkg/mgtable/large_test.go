package mgtable

import (
	"fmt"
	"runtime"
	"testing"
)

// LargeTable returns a table of count accounts, 9 models and 900 engines. An
// edit above 0 changes the weight of the account with that index.
func LargeTable(count, edit int) *Table {
	set := rows{
		version: uint64(edit + 1),
	}
	for i := range 9 {
		name := fmt.Sprintf("model-%d", i)
		set.models = append(set.models, &Model{
			name:    name,
			context: 100_000,
			max:     50_000,
		})
		set.services = append(set.services, &Service{
			name:     "service-" + name,
			kind:     Generation,
			model:    name,
			prefer:   PreferSteady,
			deadline: 10_000,
			repeat:   Never,
		})
	}
	for i := range 900 {
		set.upstreams = append(set.upstreams, &Upstream{
			name:   fmt.Sprintf("engine-%03d", i),
			kind:   Engine,
			models: []string{fmt.Sprintf("model-%d", i%9)},
			memory: 400_000,
			batch:  64,
			orders: OrdersChecked,
		})
	}
	for i := range count {
		name := fmt.Sprintf("account-%05d", i)
		weight := 1.0
		if edit > 0 && i == edit {
			weight = 2
		}
		set.accounts = append(set.accounts, &Account{
			name:     name,
			keys:     []Digest{DigestOf([]byte("sample-" + name))},
			weight:   weight,
			rate:     1000,
			streams:  10,
			services: []string{"service-model-1", "service-model-2"},
		})
	}
	t, err := assemble(set, &Faults{})
	if err != nil {
		panic(err)
	}
	return t
}

const targetAccounts = 35_000

func BenchmarkParse(b *testing.B) {
	data := LargeTable(targetAccounts, 0).TOML()
	b.SetBytes(int64(len(data)))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Parse(data); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkAdoptEdit reads the page that an edit changed and joins all pages.
func BenchmarkAdoptEdit(b *testing.B) {
	older, texts, _ := LargeTable(targetAccounts, 0).Pages(1 << 20)
	newer, edited, _ := LargeTable(targetAccounts, 1).Pages(1 << 20)
	pages := make([]*Page, len(texts))
	for i, text := range texts {
		pages[i], _ = ReadPage(text)
	}
	changed := 0
	transferred := len(newer.Bytes())
	for i := range edited {
		if older.Pages[i] != newer.Pages[i] {
			changed = i
			transferred += len(edited[i])
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		page, err := ReadPage(edited[changed])
		if err != nil {
			b.Fatal(err)
		}
		pages[changed] = page
		if _, err := Join(newer, pages); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(transferred), "moved-B")
	b.ReportMetric(float64(len(texts)), "pages")
}

// BenchmarkLiveHeap reports the live heap of a table and its pages, as a process
// holds them.
func BenchmarkLiveHeap(b *testing.B) {
	m, texts, _ := LargeTable(targetAccounts, 0).Pages(1 << 20)
	b.ResetTimer()
	for b.Loop() {
		before := liveHeapBytes()
		pages := make([]*Page, len(texts))
		size := 0
		for i, text := range texts {
			pages[i], _ = ReadPage(append([]byte(nil), text...))
			size += len(text)
		}
		table, err := Join(m, pages)
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(liveHeapBytes()-before), "heap-B")
		b.ReportMetric(float64(size), "text-B")
		runtime.KeepAlive(table)
		runtime.KeepAlive(pages)
	}
}

func liveHeapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func BenchmarkByKey(b *testing.B) {
	t := LargeTable(targetAccounts, 0)
	for b.Loop() {
		if t.AccountByKey("sample-account-00077") == nil {
			b.Fatal("missing")
		}
	}
}
