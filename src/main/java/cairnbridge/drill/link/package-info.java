/** The network of a drill: relays between processes that delay, drop, duplicate and cut by rule. */
package cairnbridge.drill.link;
