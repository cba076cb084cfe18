// Package stream checks that the chunks of a streamed answer belong to one request and form the whole answer, also when
// another attempt resumes it, and decodes server-sent events.
//
// An answer is complete only when its end marker follows all of its tokens. Everything else fails with StreamBroken, and
// the index of the next token is where another attempt can resume. Only the current attempt delivers tokens: two attempts
// may have generated different text, so a late chunk of a cancelled attempt must not fill a gap.
package stream
