/**
 * Persists a proxy's state across a power loss, as snapshots and a write-ahead log of the changes
 * between them. {@link cairnbridge.store.StateStore} owns the only thread that blocks on the disk,
 * and uses the mutable classes on that thread alone. Only {@link
 * cairnbridge.store.FileStorageDirectory} performs I/O.
 *
 * <p>Files are named {@code snapshot-N} and {@code log-N}. Each is a series of records, encoded as
 * CBOR and framed with a checksum. {@code docs/design/recovery.md} describes the alternatives that
 * were considered. A proxy uses a state store only if its fleet file has a {@code [recovery]}
 * table.
 */
package cairnbridge.store;
