// Package stream checks that the chunks of a streamed answer belong to one request and form the whole answer, over
// resumes too, and decodes server-sent events.
package stream
