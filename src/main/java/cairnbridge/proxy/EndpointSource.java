package cairnbridge.proxy;

/** Asks discovery for the endpoint list. */
interface EndpointSource {
    /** Asks nobody. */
    EndpointSource NONE =
            new EndpointSource() {
                @Override
                public void subscribe(boolean on) {
                    // Nobody is asked.
                }

                @Override
                public void fetch() {
                    // Nobody is asked.
                }
            };

    /** Asks for the list and its changes, or no longer. */
    void subscribe(boolean on);

    /** Asks for the whole list once. */
    void fetch();
}
