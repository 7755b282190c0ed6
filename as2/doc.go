// Package as2 reads and writes AS2 messages and their receipts: RFC 4130 (AS2), RFC 8551 and RFC 5652 (S/MIME and
// CMS), RFC 8098 (MDN), RFC 5402 and RFC 3274 (compression). It has no I/O and no clock: bytes come in and go out. All
// that is read is foreign, and is bounded in size, nesting and number of headers before it is believed.
//
// Signatures are RSA PKCS #1 v1.5 and ECDSA with SHA-256, SHA-384 or SHA-512; SHA-1 is read, for old partners, where the
// partner's set-up allows it. Contents are encrypted with AES-128-CBC or AES-256-CBC, keys with RSA PKCS #1 v1.5; DES-EDE3
// is read. Not supported: RSASSA-PSS; RSAES-OAEP, since the CMS library below takes one hash for digest and mask without
// writing so; and AES-GCM, which it puts into EnvelopedData where RFC 5083 asks for AuthEnvelopedData.
//
// All functions may be called by many goroutines at a time.
package as2
