package cairnbridge.proxy;

import java.io.File;
import java.lang.management.ManagementFactory;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Guards against starts that are slow for no visible reason: logs if the command line names a class
 * data sharing archive that the JVM cannot use, for example because it was not rebuilt with the
 * jar. The JVM itself continues without the archive, and deploy/serve.args turns off the JVM's own
 * message about it, because the JVM would also report options that are irrelevant here.
 */
public final class ClassDataArchive {
    private static final String OPTION = "-XX:SharedArchiveFile=";
    private static final String JAR_SUFFIX = ".jar";
    private static final String ARCHIVE_SUFFIX = ".jsa";

    private ClassDataArchive() {}

    /**
     * Logs one line if the command line names an archive that is not in use. Because this is part
     * of every start, it first reads only two system properties and the modification times of two
     * files. It reads the options of the JVM, which takes longer, only if these leave doubt.
     *
     * <p>An outdated archive is detected if it is in the jar's folder and has the jar's name.
     */
    public static void logIfUnused() {
        File jar = new File(System.getProperty("java.class.path", ""));
        boolean sharing = System.getProperty("java.vm.info", "").contains("sharing");
        if (sharing && !isOutdated(archiveNextTo(jar), jar)) {
            return;
        }
        Optional<File> archive =
                namedArchive(ManagementFactory.getRuntimeMXBean().getInputArguments());
        Optional<String> reason = archive.flatMap(file -> unusedReason(file, jar, sharing));
        if (reason.isPresent()) {
            Logger.getLogger(ClassDataArchive.class.getName())
                    .log(
                            Level.INFO,
                            "class data sharing archive {0} is not in use, the start is slower:"
                                    + " {1}",
                            new Object[] {archive.get(), reason.get()});
        }
    }

    private static File archiveNextTo(File jar) {
        String path = jar.getPath();
        return path.endsWith(JAR_SUFFIX)
                ? new File(path.substring(0, path.length() - JAR_SUFFIX.length()) + ARCHIVE_SUFFIX)
                : new File(path + ARCHIVE_SUFFIX);
    }

    /** The archive that the JVM options name; the last such option applies, as in the JVM. */
    static Optional<File> namedArchive(List<String> options) {
        return options.stream()
                .filter(option -> option.startsWith(OPTION))
                .reduce((first, second) -> second)
                .map(option -> option.substring(OPTION.length()))
                // A base archive may be listed before the application's archive.
                .map(paths -> paths.substring(paths.lastIndexOf(File.pathSeparatorChar) + 1))
                .map(File::new);
    }

    /**
     * The reason why an archive that the command line names is not in use; empty if it is in use.
     *
     * @param sharing whether the JVM uses any archive
     */
    static Optional<String> unusedReason(File archive, File jar, boolean sharing) {
        if (!archive.exists()) {
            return Optional.of("there is no such file");
        }
        if (isOutdated(archive, jar)) {
            return Optional.of("it is older than " + jar);
        }
        return sharing ? Optional.empty() : Optional.of("the virtual machine does not accept it");
    }

    /**
     * Whether the jar was modified after its archive. The archive records the jar's time in whole
     * seconds, so a difference within the same second does not count.
     */
    private static boolean isOutdated(File archive, File jar) {
        long archiveMillis = archive.lastModified();
        return archiveMillis > 0
                && TimeUnit.MILLISECONDS.toSeconds(jar.lastModified())
                        > TimeUnit.MILLISECONDS.toSeconds(archiveMillis);
    }
}
