package cairnbridge.proxy;

import java.io.File;
import java.lang.management.ManagementFactory;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Guards against starts that are slow for no visible reason: says if the command line names a class
 * data sharing archive that the virtual machine cannot use, as it was not made anew with the jar.
 * The virtual machine itself goes on without the archive, and deploy/serve.args turns its own log
 * of that off, which would also name options of no interest here.
 */
public final class ClassDataArchive {
    private static final String OPTION = "-XX:SharedArchiveFile=";
    private static final String JAR_SUFFIX = ".jar";
    private static final String ARCHIVE_SUFFIX = ".jsa";

    private ClassDataArchive() {}

    /**
     * Logs one line if an archive is named that is not in use. Where all is well it reads two
     * properties and the times of two files, as that is part of every start; only where there is
     * cause for doubt does it ask for the options of the virtual machine, which takes longer.
     *
     * <p>An outdated archive is noticed if it lies next to the jar and has the jar's name.
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

    /** The archive that the options name; the last one counts, as it does for the machine. */
    static Optional<File> namedArchive(List<String> options) {
        return options.stream()
                .filter(option -> option.startsWith(OPTION))
                .reduce((first, second) -> second)
                .map(option -> option.substring(OPTION.length()))
                // A base archive may be named before the one of the application.
                .map(paths -> paths.substring(paths.lastIndexOf(File.pathSeparatorChar) + 1))
                .map(File::new);
    }

    /**
     * Why an archive that the command line names is not in use; empty if it is.
     *
     * @param sharing whether the virtual machine uses any archive
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
     * Whether the jar was written after its archive. The archive holds the jar's time in whole
     * seconds, so that the same second is not after it.
     */
    private static boolean isOutdated(File archive, File jar) {
        long archiveMillis = archive.lastModified();
        return archiveMillis > 0
                && TimeUnit.MILLISECONDS.toSeconds(jar.lastModified())
                        > TimeUnit.MILLISECONDS.toSeconds(archiveMillis);
    }
}
