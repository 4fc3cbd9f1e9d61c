/**
 * The JSON adapter: reads batches of events from standard input, passes them to one router per
 * instance and writes the routers' actions to standard output. It contains no routing logic.
 */
package cairnbridge.adapter;
