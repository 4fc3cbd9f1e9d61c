package cairnbridge.drill.simulated;

import cairnbridge.store.StorageDirectory;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.file.NoSuchFileException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

/**
 * A disk that forgets: when its power goes, what was not forced is lost, torn or there, by chance
 * and in any order, sector by sector and name by name. It can also fail in the middle of a write.
 */
public final class SimulatedDisk implements StorageDirectory {
    private static final int SECTOR = 64;

    /** A file's bytes as they are, and as they are sure to be after a loss of power. */
    private static final class Inode {
        private byte[] now = {};
        private byte[] forced = {};
    }

    /** One change of names that was not forced yet; to is null for a deletion. */
    private record Change(String from, String to, Inode inode) {}

    private final RandomGenerator chance;
    private Map<String, Inode> names = new TreeMap<>();
    private Map<String, Inode> forcedNames = new TreeMap<>();
    private final List<Change> changes = new ArrayList<>();
    private double failing;

    /** An empty disk whose faults are drawn from a generator. */
    public SimulatedDisk(RandomGenerator chance) {
        this.chance = chance;
    }

    /** From now on so great a part of writes and forcings fails. */
    public void fails(double part) {
        failing = part;
    }

    private void mayFail() throws IOException {
        if (chance.nextDouble() < failing) {
            throw new IOException("No space left on device");
        }
    }

    @Override
    public List<String> listFiles() {
        return List.copyOf(names.keySet());
    }

    private Inode inode(String name) throws IOException {
        Inode inode = names.get(name);
        if (inode == null) {
            throw new NoSuchFileException(name);
        }
        return inode;
    }

    @Override
    public byte[] read(String name) throws IOException {
        return inode(name).now.clone();
    }

    @Override
    public void write(String name, byte[] bytes) throws IOException {
        mayFail();
        Inode inode = names.get(name);
        if (inode == null) {
            inode = new Inode();
            names.put(name, inode);
            changes.add(new Change(null, name, inode));
        }
        inode.now = new byte[0];
        add(inode, bytes);
    }

    @Override
    public void append(String name, byte[] bytes) throws IOException {
        if (!names.containsKey(name)) {
            write(name, bytes);
        } else {
            add(names.get(name), bytes);
        }
    }

    private void add(Inode inode, byte[] bytes) throws IOException {
        boolean whole = chance.nextDouble() >= failing;
        int length = whole ? bytes.length : chance.nextInt(bytes.length + 1);
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(inode.now);
        out.write(bytes, 0, length);
        inode.now = out.toByteArray();
        if (!whole) {
            throw new IOException("No space left on device");
        }
    }

    @Override
    public void sync(String name) throws IOException {
        mayFail();
        Inode inode = inode(name);
        inode.forced = inode.now;
    }

    @Override
    public void rename(String from, String to) throws IOException {
        mayFail();
        Inode inode = inode(from);
        names.remove(from);
        names.put(to, inode);
        changes.add(new Change(from, to, inode));
    }

    @Override
    public void syncDirectory() throws IOException {
        mayFail();
        forcedNames = new TreeMap<>(names);
        changes.clear();
    }

    @Override
    public void delete(String name) {
        if (names.remove(name) != null) {
            changes.add(new Change(name, null, null));
        }
    }

    /** The power goes and comes back. */
    public void losePower() {
        for (Change change : changes) {
            if (chance.nextBoolean()) {
                if (change.from() != null) {
                    forcedNames.remove(change.from());
                }
                if (change.to() != null) {
                    forcedNames.put(change.to(), change.inode());
                }
            }
        }
        changes.clear();
        names = new TreeMap<>(forcedNames);
        failing = 0;
        for (Inode inode : names.values()) {
            inode.now = torn(inode);
            inode.forced = inode.now;
        }
    }

    /** Each sector that was not forced is as it was, as it should have become, or neither. */
    private byte[] torn(Inode inode) {
        if (Arrays.equals(inode.now, inode.forced)) {
            return inode.now;
        }
        boolean longer = chance.nextBoolean();
        byte[] left =
                Arrays.copyOf(
                        inode.forced,
                        longer
                                ? inode.now.length
                                : Math.min(inode.now.length, inode.forced.length));
        for (int at = 0; at < left.length; at += SECTOR) {
            int end = Math.min(left.length, at + SECTOR);
            int kind = chance.nextInt(3);
            for (int i = at; i < end && kind > 0; i++) {
                boolean same = i < inode.forced.length && inode.forced[i] == inode.now[i];
                left[i] = same || kind == 1 ? inode.now[i] : (byte) chance.nextInt(256);
            }
        }
        return left;
    }

    /** One byte of one file is another; nothing where there is no file. */
    public void rot() {
        List<Inode> all = names.values().stream().filter(each -> each.now.length > 0).toList();
        if (!all.isEmpty()) {
            Inode inode = all.get(chance.nextInt(all.size()));
            inode.now = inode.now.clone();
            inode.now[chance.nextInt(inode.now.length)] ^= (byte) (1 << chance.nextInt(8));
            inode.forced = inode.now;
        }
    }
}
