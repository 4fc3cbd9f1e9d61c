# The JDK's class archive is made by the build, so that a proxy is ready soon after its start.
JAVA_SERVE = java -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -Xms40m -Xmx88m -Xss512k -XX:MaxDirectMemorySize=16m \
	-XX:ReservedCodeCacheSize=24m -XX:+ExitOnOutOfMemoryError -XX:-UsePerfData \
	-XX:SharedArchiveFile=target/cairnbridge.jsa -Xlog:cds=off -Xlog:cds+dynamic=off

.PHONY: build test lint run clean

build:
	mvn -B -ntp -q -DskipTests package
	java -XX:+UseSerialGC -XX:ArchiveClassesAtExit=target/cairnbridge.jsa -Xlog:cds=off \
		-Xlog:cds+dynamic=off -jar target/cairnbridge.jar rehearse

test:
	mvn -B -ntp verify

lint:
	mvn -B -ntp -q -Plint clean test-compile

# LB_CONFIG names the configuration file.
run: build
	$(JAVA_SERVE) -jar target/cairnbridge.jar serve

clean:
	mvn -B -ntp -q clean
