/**
 * The command line: one class per command, which parses its options and calls the package that
 * implements the command. Exit status 2 means invalid input.
 */
package cairnbridge.cli;
