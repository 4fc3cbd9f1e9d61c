# The JDK's class archive is made by the build, so that a proxy is ready soon after its start.
.PHONY: build test lint run clean

build:
	mvn -B -ntp -q -DskipTests package
	java @deploy/rehearse.args -jar target/cairnbridge.jar rehearse

test:
	mvn -B -ntp verify

lint:
	mvn -B -ntp -q -Plint clean test-compile

# LB_CONFIG names the configuration file.
run: build
	java @deploy/serve.args -jar target/cairnbridge.jar serve

clean:
	mvn -B -ntp -q clean
