/**
 * Reads CBOR (RFC 8949) as a sequence of fields with known types. Code that writes CBOR uses
 * Jackson's generator directly.
 */
package cairnbridge.cbor;
