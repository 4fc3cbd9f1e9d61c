/**
 * The proxy process: client and upstream connections on one I/O reactor, the coordinator thread,
 * which runs the request coordinator and its decision module, the discovery watch, the links to the
 * fleet and to the recovery from a power loss, and the process's start, reload, drain and stop.
 * Thread dumps show the coordinator thread as "owner".
 */
package cairnbridge.proxy;
