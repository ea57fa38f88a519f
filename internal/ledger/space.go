package ledger

// maxKeptBytes bounds the answers that a book keeps. Records are few bytes
// each, but answers are the servers' and as many as callers ask for.
const maxKeptBytes = 256 << 20

// size of an answer in bytes; zero for none.
func (a *Answer) size() int {
	if a == nil {
		return 0
	}
	size := len(a.Body)
	for name, values := range a.Header {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	return size
}

// hasSpace reports whether the answer can be kept beside the others.
func (b *Book) hasSpace(answer *Answer) bool {
	return b.kept+answer.size() <= b.space
}

// fit returns the record, without its answer if there is no space for that: a
// repeat is then told that the outcome is unknown, and the request never runs
// twice.
func (b *Book) fit(record Record) Record {
	if record.Answer != nil && !b.hasSpace(record.Answer) {
		record.Answer = nil
		record.State = StateUnknown
	}
	return record
}

// put replaces a key's entry.
func (b *Book) put(key Key, next *entry) {
	b.drop(key)
	b.entries[key] = next
	b.kept += next.record.Answer.size()
}

// drop forgets a key.
func (b *Book) drop(key Key) {
	if known := b.entries[key]; known != nil {
		b.kept -= known.record.Answer.size()
		delete(b.entries, key)
	}
}
