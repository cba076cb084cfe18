// Package stream checks that the chunks of a streamed answer belong to one request and form the whole answer, over
// resumes too, and decodes server-sent events.
//
// An answer is whole only when its end marker came after all tokens before it. Everything else ends as StreamBroken, and
// the index of the next token tells where another attempt can resume. Only the present attempt delivers tokens: two
// attempts may have chosen different words, so a late chunk of a cancelled one must not fill a gap.
package stream
