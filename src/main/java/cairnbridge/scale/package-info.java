/**
 * Measures what the program costs as a fleet grows. Each command writes its figures as JSON lines,
 * so that slopes can be fitted over several sizes; see docs/CAPACITY.md for what they add up to.
 */
package cairnbridge.scale;
