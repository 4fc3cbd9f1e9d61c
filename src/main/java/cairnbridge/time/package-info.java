/** The unit of time used by routing decisions and protocols: the tick. */
package cairnbridge.time;
