package cairnbridge.scale.control;

import java.io.BufferedReader;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStreamWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.logging.Level;
import java.util.logging.Logger;

/** A child process with hollow proxies, as the measuring process speaks to it. */
final class HollowChild implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(HollowChild.class.getName());

    /** Stands for the end of a process's output; no reply is empty. */
    private static final String END = "";

    private static final long REPLY_SECONDS = 60;
    private static final long END_SECONDS = 5;
    private static final String MAIN_CLASS = "cairnbridge.cli.Main";

    private final Process process;
    private final BufferedWriter commands;
    private final BlockingQueue<String> replies = new LinkedBlockingQueue<>();

    /** Starts the process with a heap of at most so many bytes. */
    HollowChild(long heapBytes) throws IOException {
        process =
                new ProcessBuilder(
                                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                                "-Xmx" + heapBytes / (1 << 20) + "m",
                                "-Xss256k",
                                "-XX:+UseSerialGC",
                                "-cp",
                                System.getProperty("java.class.path"),
                                MAIN_CLASS,
                                "scale",
                                "control",
                                "process")
                        .redirectError(ProcessBuilder.Redirect.INHERIT)
                        .start();
        commands =
                new BufferedWriter(
                        new OutputStreamWriter(process.getOutputStream(), StandardCharsets.UTF_8));
        Thread reader = new Thread(this::readReplies, "hollow-replies");
        reader.setDaemon(true);
        reader.start();
    }

    private void readReplies() {
        try (BufferedReader in =
                new BufferedReader(
                        new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                replies.add(line);
            }
        } catch (IOException e) {
            LOG.log(Level.FINE, "replies cannot be read any more", e);
        } finally {
            replies.add(END);
        }
    }

    /** Sends a command; its reply is to be received before the next one's. */
    void send(HollowCommand command) throws IOException {
        commands.write(HollowMessages.write(command));
        commands.newLine();
        commands.flush();
    }

    /** The reply to the command sent first of those not yet answered. */
    <T extends HollowReply> T receive(Class<T> kind) throws IOException, InterruptedException {
        String line = replies.poll(REPLY_SECONDS, TimeUnit.SECONDS);
        if (line == null) {
            throw new IOException("a process with hollow proxies did not answer in time");
        }
        if (line.equals(END)) {
            replies.add(END);
            throw new IOException("a process with hollow proxies has ended");
        }
        HollowReply reply = HollowMessages.readReply(line);
        if (reply instanceof HollowReply.Failed failed) {
            throw new IOException("a process with hollow proxies failed: " + failed.reason());
        }
        return kind.cast(reply);
    }

    /** Sends a command and waits for its reply. */
    <T extends HollowReply> T ask(HollowCommand command, Class<T> kind)
            throws IOException, InterruptedException {
        send(command);
        return receive(kind);
    }

    /** Sends one command to all before the first reply is waited for. */
    static <T extends HollowReply> List<T> askAll(
            List<HollowChild> children, HollowCommand command, Class<T> kind)
            throws IOException, InterruptedException {
        for (HollowChild child : children) {
            child.send(command);
        }
        List<T> replies = new ArrayList<>();
        for (HollowChild child : children) {
            replies.add(child.receive(kind));
        }
        return replies;
    }

    /** Ends the process; by force where it does not end by itself. */
    @Override
    public void close() {
        try {
            commands.close();
            if (!process.waitFor(END_SECONDS, TimeUnit.SECONDS)) {
                process.destroyForcibly();
            }
        } catch (IOException e) {
            process.destroyForcibly();
        } catch (InterruptedException e) {
            process.destroyForcibly();
            Thread.currentThread().interrupt();
        }
    }
}
