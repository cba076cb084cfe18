// Package conns sends HTTP/1.1 requests over pooled connections and tells exactly what became of each.
//
// The HTTP client of the standard library hides whether a request reached the other side, repeats some requests by itself
// and accepts an answer without looking at whose it is. Here a failure says whether a byte was sent, a request is sent once
// and only once, an answer counts only if it echoes the id of the request, and a connection with a surplus byte is closed.
package conns
