package cairnbridge.proxy;

/** Requests the endpoint list from discovery. */
interface EndpointSource {
    /** Requests nothing; used where there is no discovery. */
    EndpointSource NONE =
            new EndpointSource() {
                @Override
                public void subscribe(boolean on) {
                    // There is no discovery to subscribe to.
                }

                @Override
                public void fetch() {
                    // There is no discovery to fetch from.
                }
            };

    /** Starts or ends the subscription to the list and its changes. */
    void subscribe(boolean on);

    /** Requests the whole list once. */
    void fetch();
}
