package gateway

// MaxHeaderBytes is the header size above which a node rejects any request, whatever
// the configuration allows.
const MaxHeaderBytes = maxServerHeaderBytes
