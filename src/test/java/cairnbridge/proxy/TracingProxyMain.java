package cairnbridge.proxy;

import cairnbridge.cli.Main;
import cairnbridge.cli.NonResettingLogManager;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.Logger;

/** Runs a proxy that logs each request, and each time at which its process was held up. */
public final class TracingProxyMain {
    static {
        // The log manager is chosen when the first logger is created.
        System.setProperty("java.util.logging.manager", NonResettingLogManager.class.getName());
        System.setProperty(
                "java.util.logging.SimpleFormatter.format", "%1$tFT%1$tT.%1$tL %4$s %5$s%6$s%n");
    }

    private static final Logger LOG = Logger.getLogger(TracingProxyMain.class.getName());

    /** Referred to for as long as the process runs, so that its level is kept. */
    private static final Logger TRACE = Logger.getLogger(RequestTrace.class.getName());

    private TracingProxyMain() {}

    /** Runs the program with these arguments. */
    public static void main(String[] args) {
        TRACE.setLevel(Level.FINE);
        for (Handler each : Logger.getLogger("").getHandlers()) {
            each.setLevel(Level.FINE);
        }
        HoldUpRecorder.start(
                holdUp ->
                        LOG.log(
                                Level.INFO,
                                "held up from {0} to {1}",
                                new Object[] {
                                    Long.toString(holdUp.fromNanos()),
                                    Long.toString(holdUp.toNanos())
                                }));
        Main.main(args);
    }
}
