# The JDK's class archive is made by the build, so that a proxy is ready soon after its start.
.PHONY: build test lint run demo drill lab scale fuzz soak clean

# All that runs the program depends on it: a jar that is packaged without its class archive makes the next start slow.
build:
	mvn -B -ntp -q -DskipTests package
	java @deploy/rehearse.args -jar target/cairnbridge.jar rehearse

test:
	mvn -B -ntp verify

lint:
	mvn -B -ntp -q -Plint clean test-compile checkstyle:check@style-check spotless:check

# LB_CONFIG names the configuration file.
run: build
	java @deploy/serve.args -jar target/cairnbridge.jar serve

# A small fleet with its stand-ins and clients, in the foreground.
demo: build
	java -jar target/cairnbridge.jar demo

# All scenarios, the long ones too; about forty minutes. power-late-origin and the baselines take longest.
drill: build
	java -jar target/cairnbridge.jar drill --out target/drills drills/*.drill

# The fleet's view on a simulated net; the last line takes some four minutes and 8 GB.
lab: build
	java -jar target/cairnbridge.jar simulate --members 100
	java -Xmx6g -jar target/cairnbridge.jar simulate --members 1000
	java -jar target/cairnbridge.jar simulate --members 50 --hours 24 --loss 0.1
	java -Xmx8g -Xmn600m -XX:+UseParallelGC -jar target/cairnbridge.jar simulate --members 10000 --settled --quiet 200 \
		--changes 30

# What the program costs at a few sizes, as JSON lines; some minutes. docs/CAPACITY.md has the larger ones.
scale: build
	java -jar target/cairnbridge.jar scale router --nodes 28,100,310 --plays 3 --requests 50000 --seed 1
	java -jar target/cairnbridge.jar scale turns --members 100,450 --nodes 18,78 --plays 3 --seed 1
	java -jar target/cairnbridge.jar scale control --processes 2 --settle-seconds 1 --quiet-seconds 5 --changes 1 \
		--members 12,24 --plays 1 --seed 1 --steady-figures
	java -jar target/cairnbridge.jar scale data-path --requests 1000 --body 512 --connections 0,200 --nodes 28 \
		--repeats 1 --seed 1
	java -jar target/cairnbridge.jar scale propagation --members 120 --changes 10 --seed 1

# Ten minutes of losses of power, faults and rot on a simulated disk.
fuzz: build
	java -jar target/cairnbridge.jar fuzz --minutes 10

# Restarts and upgrades under clients, a line for each seed; about ten seconds a seed. A seed that fails is played again with
# make soak SEED=N SEEDS=1.
SEED = 1
SEEDS = 50
soak:
	mvn -B -ntp test -Dtest=RestartSoakTest -Dsoak.first=$(SEED) -Dsoak.seeds=$(SEEDS)

clean:
	mvn -B -ntp -q clean
