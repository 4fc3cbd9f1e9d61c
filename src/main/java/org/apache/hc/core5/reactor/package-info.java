/** The only class that has to be in a package of HttpCore; see {@link AcceptedChannelRegistrar}. */
package org.apache.hc.core5.reactor;
