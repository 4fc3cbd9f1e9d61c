package cairnbridge.admin;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/** Executes the commands of the administration endpoint and formats their answers. */
final class AdminCommands {
    private static final String OK = "200 ";
    private static final String ERROR = "400 ";
    private static final String END_OF_REPORT = "EOF";

    /**
     * Guards against a client that waits without an answer while the executing thread is behind.
     */
    private static final long TIMEOUT_MILLIS = 800;

    private final AdminOperations operations;
    private final ProxyMetrics metrics;

    AdminCommands(AdminOperations operations, ProxyMetrics metrics) {
        this.operations = operations;
        this.metrics = metrics;
    }

    /** Formats the answer for an error. */
    static String error(String message) {
        return ERROR + message;
    }

    /** Executes a request line. The returned future never completes exceptionally. */
    CompletableFuture<String> execute(String request) {
        String[] words = request.split(" +", 2);
        String command = words[0];
        String argument = words.length > 1 ? words[1] : "";
        return switch (command) {
            case "status" -> completed(operations.isReady() ? OK + "ready" : error("not ready"));
            case "stats" -> completed(metrics.format() + END_OF_REPORT);
            case "standby", "active" -> completed(standby(command));
            case "maint-on" -> maintenance(argument, true);
            case "maint-off" -> maintenance(argument, false);
            case "members", "members-json" ->
                    completed(operations.fleetStatus(command, argument).orElse(error("no fleet")));
            case "member" ->
                    completed(
                            operations
                                    .fleetStatus(command, argument)
                                    .orElse(error("no such member")));
            case "recovery" -> completed(recovery());
            case "zones", "zone-drain", "zone-restore" -> zones(request);
            default -> completed(error("no such call"));
        };
    }

    private static CompletableFuture<String> completed(String answer) {
        return CompletableFuture.completedFuture(answer);
    }

    private String standby(String command) {
        operations.setStandby(command.equals("standby"));
        return OK + command;
    }

    private String recovery() {
        return operations
                .recoveryStatus()
                .map(text -> text + END_OF_REPORT)
                .orElse(error("nothing is kept over a loss of power"));
    }

    private CompletableFuture<String> maintenance(String node, boolean on) {
        return operations
                .setMaintenance(node, on)
                .orTimeout(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .handle((nodeKnown, failure) -> maintenanceAnswer(on, nodeKnown, failure));
    }

    private static String maintenanceAnswer(boolean on, Boolean nodeKnown, Throwable failure) {
        if (failure != null) {
            return maintenanceFailure(failure);
        }
        if (!nodeKnown) {
            return error("no such node");
        }
        return OK + (on ? "out" : "back");
    }

    private static String maintenanceFailure(Throwable failure) {
        if (failure instanceof CompletionException
                && failure.getCause() instanceof NotPersistedException) {
            return OK + "in force, but a loss of power would undo it";
        }
        return failure instanceof TimeoutException
                ? error("not in force yet, call again")
                : error("cannot be kept, nothing has changed");
    }

    private CompletableFuture<String> zones(String request) {
        Optional<CompletableFuture<String>> result = operations.zoneCommand(request);
        if (result.isEmpty()) {
            return completed(error("no plans over zones"));
        }
        return result.get()
                .orTimeout(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .handle(
                        (text, failure) ->
                                failure != null ? error("no answer yet, call again") : text);
    }
}
