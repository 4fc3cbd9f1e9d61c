/**
 * The proxy process: client and upstream connections on one I/O reactor, the owner thread that runs
 * the request coordinator and its decision module, the discovery watch, the links to the fleet and
 * to the recovery from a power loss, and the process's start, reload, drain and stop.
 */
package cairnbridge.proxy;
