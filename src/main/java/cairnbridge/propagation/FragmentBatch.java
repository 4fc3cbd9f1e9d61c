package cairnbridge.propagation;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** Packs consecutive fragments into messages of limited size. */
final class FragmentBatch {
    private final int maxBytes;
    private final Consumer<List<Fragment>> sender;
    private List<Fragment> fragments = new ArrayList<>();
    private int bytes;

    FragmentBatch(int maxBytes, Consumer<List<Fragment>> sender) {
        this.maxBytes = maxBytes;
        this.sender = sender;
    }

    void add(Fragment fragment) {
        if (bytes + fragment.size() > maxBytes) {
            flush();
        }
        fragments.add(fragment);
        bytes += fragment.size();
    }

    /** Sends the buffered fragments, if any. */
    void flush() {
        if (!fragments.isEmpty()) {
            sender.accept(fragments);
            fragments = new ArrayList<>();
            bytes = 0;
        }
    }
}
