package abort

// ConnOf returns the TCP connection of a request of HTTP/1.0.
var ConnOf = conn
